package matrix

// This file lists deliberate faults in the product's code (mutations), each with
// the cell or test that detects it.

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/jacinthstile/jacinthstile/internal/bench/audit"
)

// Edit replaces a part of a source file.
type Edit struct {
	File string // path from the root of the repository
	Old  string // occurs exactly once in the file
	New  string
}

// Break is a deliberate fault in the product's code. A test that passes in spite of
// it doesn't check its promise.
type Break struct {
	Name    string
	Promise audit.Promise
	Cell    string // name of the cell that detects it, or empty
	Test    string // if no cell does, "PACKAGE TEST", with the package's path from the root of the repository
	Edits   []Edit
}

// Breaks lists at least one break for each promise.
var Breaks = []Break{
	{
		Name: "a stage answer is taken without its identity", Promise: audit.OwnResult, Cell: Encode + " / " + Swapped,
		Edits: []Edit{{
			File: "internal/endpoint/client/stage.go",
			Old:  "return e.Request == r.call.RequestID && e.Stage == r.call.Stage && e.Attempt == r.call.Attempt",
			New:  "return e != nil",
		}},
	},
	{
		Name: "a stream that ends early counts as whole", Promise: audit.WholeAnswer, Cell: MidStream + " / " + Cut,
		Edits: []Edit{{
			File: "internal/endpoint/client/stage.go",
			Old:  "\treturn stagecall.Response{}, r.truncated(ctx, lines.Err())\n}\n\nfunc (r *stageReader) decode",
			New:  "\treturn r.finish()\n}\n\nfunc (r *stageReader) decode",
		}, {
			File: "internal/endpoint/client/stage.go",
			Old:  "got := r.text.Len(); !e.Done || got != e.Size",
			New:  "got := r.text.Len(); got < 0",
		}},
	},
	{
		Name: "a call whose answer was lost is called not run", Promise: audit.NotRun, Cell: AfterSend + " / " + DeadAfter,
		Edits: []Edit{{
			File: "internal/flow/servicecall/sender.go",
			Old:  "faultOf(ctx, a.ran, a.lastErr)",
			New:  "faultOf(ctx, false, a.lastErr)",
		}},
	},
	{
		Name: "a lost call is sent again as if it had not left", Promise: audit.AtMostOnce, Cell: AfterSend + " / " + DeadAfter,
		Edits: []Edit{{
			File: "internal/flow/servicecall/sender.go",
			Old:  "\tcase failure.Unsent:\n\t\treturn true",
			New:  "\tcase failure.Unsent, failure.Lost:\n\t\treturn true",
		}},
	},
	{
		Name: "a repeated ticket runs its call again", Promise: audit.AtMostOnce, Cell: AfterSend + " / " + Doubled,
		Edits: []Edit{{
			File: "internal/ticket/store/store.go",
			Old:  "\t\treturn t.execution, false, nil",
			New:  "\t\tt.execution = newExecution()\n\t\treturn t.execution, true, nil",
		}},
	},
	{
		Name: "endpoints of weight zero are chosen", Promise: audit.Leaving, Cell: Drain + " / " + Down,
		Edits: []Edit{{
			File: "internal/routing/picker/picker.go",
			Old:  "return table.Weight(name) > 0 && !stats.Leaving(name)",
			New:  "return table.Endpoint(name) != nil && !stats.Leaving(name)",
		}, {
			File: "internal/routing/picker/group.go",
			Old:  "w := table.Weight(e.Name)",
			New:  "w := max(1, table.Weight(e.Name))",
		}},
	},
	{
		Name: "weight zero is not asked for again before the send", Promise: audit.Leaving,
		Test: "./internal/flow/dispatcher TestLeaseCheckFailsOnceEndpointIsExcluded",
		Edits: []Edit{{
			File: "internal/flow/dispatcher/lease.go",
			Old:  "!picker.Allowed(table, d.stats, l.Endpoint.Name)",
			New:  "picker.Allowed(table, d.stats, \"\")",
		}},
	},
	{
		Name: "a graceful stop closes connections", Promise: audit.Graceful, Cell: Stop + " / " + Burst,
		Edits: []Edit{{
			File: "internal/entry/daemon/stop.go",
			Old:  "d.callerServer.Shutdown(ctx)",
			New:  "d.callerServer.Close()",
		}},
	},
	{
		Name: "an older table replaces a newer one", Promise: audit.TableInForce, Cell: TableChange + " / " + Older,
		Edits: []Edit{{
			File: "internal/table/revision/revision.go",
			Old:  "return r.Compare(o) > 0",
			New:  "return r.Compare(o) != 0",
		}, {
			File: "internal/table/holder/holder.go",
			Old:  "!table.After(h.current.Load())",
			New:  "table == nil",
		}},
	},
	{
		Name: "newer tables of peers are not pulled", Promise: audit.TableInForce, Cell: TableChange + " / " + Down,
		Edits: []Edit{{
			File: "internal/table/syncer/peers.go",
			Old:  "at.Version > 0 && s.checkNewer(at)",
			New:  "at.Version == 0 && s.checkNewer(at)",
		}},
	},
	{
		Name: "units of a cap are granted without counting those in use", Promise: audit.AccountCap, Cell: Admission + " / " + Burst,
		Edits: []Edit{{
			File: "internal/limit/usage/usage.go",
			Old:  "if u.own+len(u.lent) < units {",
			New:  "if u.own+len(u.lent) >= 0 {",
		}},
	},
	{
		Name: "a lost idempotent call is not tried again", Promise: audit.Recovery, Cell: Read + " / " + DeadBefore,
		Edits: []Edit{{
			File: "internal/flow/servicecall/sender.go",
			Old:  "return req.Idempotent && s.budget.AllowRetry()",
			New:  "return false",
		}},
	},
}

// DetectedBy returns the cell or the test that detects the break.
func (b Break) DetectedBy() string { return b.Cell + b.Test }

// Overlay writes the edited files to dir, and a file for the -overlay flag of the
// go command that substitutes them for the files under root. It returns the path
// of the overlay file. It fails if an edit no longer fits the source.
func (b Break) Overlay(root, dir string) (string, error) {
	texts := make(map[string]string)
	for _, e := range b.Edits {
		path := filepath.Join(root, e.File)
		text, ok := texts[path]
		if !ok {
			data, err := os.ReadFile(path)
			if err != nil {
				return "", err
			}
			text = string(data)
		}
		if n := strings.Count(text, e.Old); n != 1 {
			return "", fmt.Errorf("break %q: %s holds %q %d times, want once: update internal/bench/matrix/breaks.go",
				b.Name, e.File, e.Old, n)
		}
		texts[path] = strings.Replace(text, e.Old, e.New, 1)
	}
	overlay := struct{ Replace map[string]string }{make(map[string]string)}
	for path, text := range texts {
		changed := filepath.Join(dir, fmt.Sprintf("%d.go", len(overlay.Replace)))
		if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
			return "", err
		}
		overlay.Replace[path] = changed
	}
	data, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "overlay.json")
	return file, os.WriteFile(file, data, 0o600)
}

package caller_test

// This file fuzzes the bodies that callers send.

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"

	"github.com/jacinthstile/jacinthstile/internal/bench/rig"
	"github.com/jacinthstile/jacinthstile/internal/result/code"
)

// FuzzBodies sends arbitrary bodies to each path. It fails if a body makes the
// handler panic, or if an error response is not JSON with a known result code
// other than the internal error.
func FuzzBodies(f *testing.F) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	f.Cleanup(engine.Close)
	table := rig.Table(rig.Engine("a", engine.Listener.Addr().String()))
	if err := table.Freeze(); err != nil {
		f.Fatal(err)
	}
	r, closeRig := rig.New(table, logr.Discard())
	f.Cleanup(closeRig)
	for _, path := range []string{"/v1/pipelines/chat", "/v1/chat/completions", "/v1/services/orders/book", "/v1/tickets"} {
		for _, body := range []string{
			`{"input":"x"}`, `{"input":"x","stream":true,"tokens":-1}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
			`{"model":"m","messages":[{"role":"user","content":null}],"stream":true}`, `[]`, `{`, ``,
		} {
			f.Add(path, []byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		req, err := http.NewRequest(http.MethodPost, "http://daemon/", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.URL.Path = path
		req.Header.Set("Authorization", "Bearer "+rig.Key)
		w := httptest.NewRecorder()
		r.Caller.ServeHTTP(w, req)
		if w.Code < http.StatusBadRequest {
			return
		}
		var answer struct{ Error struct{ Code int } }
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
			t.Fatalf("answer of %s: got %q, want JSON", path, w.Body)
		}
		if c := code.Code(answer.Error.Code); c.Class() == 0 || c == code.Internal {
			t.Errorf("answer of %s to %q: got code %d", path, body, answer.Error.Code)
		}
	})
}

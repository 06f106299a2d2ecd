package client

// This file reads the usual form of a token event without reflection.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/call"
)

// headOf returns how the token events of a call usually begin. An event that
// begins otherwise is read by encoding/json.
func headOf(q call.Call) []byte {
	request, err := json.Marshal(q.Request)
	if err != nil {
		panic("client: encoding a string: " + err.Error())
	}
	stage, err := json.Marshal(q.Stage)
	if err != nil {
		panic("client: encoding a string: " + err.Error())
	}
	return fmt.Appendf(nil, `{"request":%s,"stage":%s,"attempt":%d,"index":`, request, stage, q.Attempt)
}

const (
	textMark = `,"text":"`
	textEnd  = `"}`
)

// quick reads an event of the form HEAD INDEX ,"text":"TEXT"} whose text needs
// no unescaping. It reports false for any other event.
func (r *stageReader) quick(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, r.head)
	if !ok {
		return false
	}
	digits, rest, ok := bytes.Cut(rest, []byte(textMark))
	if !ok {
		return false
	}
	text, ok := bytes.CutSuffix(rest, []byte(textEnd))
	if !ok || bytes.IndexByte(text, '"') >= 0 || bytes.IndexByte(text, '\\') >= 0 || !utf8.Valid(text) {
		return false
	}
	index, err := strconv.Atoi(string(digits))
	if err != nil {
		return false
	}
	r.event = wireEvent{
		Request: r.call.Request, Stage: r.call.Stage, Attempt: r.call.Attempt,
		Index: index, Text: string(text),
	}
	return true
}

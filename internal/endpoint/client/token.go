package client

// This file decodes the usual form of a token event without reflection, which
// encoding/json would need for each token.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/jacinthstile/jacinthstile/internal/endpoint/stagecall"
)

// tokenPrefixOf returns the bytes with which the token events of a call usually begin.
// An event with another beginning is decoded by encoding/json.
func tokenPrefixOf(call stagecall.Call) []byte {
	request, err := json.Marshal(call.RequestID)
	if err != nil {
		panic("client: encoding a string: " + err.Error())
	}
	stage, err := json.Marshal(call.Stage)
	if err != nil {
		panic("client: encoding a string: " + err.Error())
	}
	return fmt.Appendf(nil, `{"request":%s,"stage":%s,"attempt":%d,"index":`, request, stage, call.Attempt)
}

const (
	textMark = `,"text":"`
	textEnd  = `"}`
)

// decodeToken decodes an event of the form PREFIX INDEX ,"text":"TEXT"} whose text
// contains no escapes. It returns false for any other event.
func (r *stageReader) decodeToken(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, r.tokenPrefix)
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
		Request: r.call.RequestID, Stage: r.call.Stage, Attempt: r.call.Attempt,
		Index: index, Text: string(text),
	}
	return true
}

// Package stagecall describes a call of a pipeline stage to an endpoint and the
// endpoint's response, independent of their encoding. It holds data only.
package stagecall

// This file defines Call, Token and Response.

import "time"

// Call is one attempt of one stage of a request. RequestID, Stage and Attempt
// together identify it.
type Call struct {
	RequestID     string    // ID of the request
	Stage         string    // name of the stage
	Attempt       int       // number of the attempt
	Deadline      time.Time // the call is not sent after it
	Model         string    // empty for pools
	Adapter       string    // adapter of the model, or empty
	Prompt        string    // the request's input and the outputs of earlier stages
	StartIndex    int       // index of the first token to generate; above zero when a stream is resumed
	PartialOutput string    // text of the tokens before StartIndex, which the engine continues
	MaxTokens     int       // maximum number of tokens to generate; zero for pools
	Priority      int       // a higher priority is served first
	KVHandle      string    // handle of an exported KV cache, or empty
	NonIdempotent bool      // CallStage sends the call at most once

	// BeforeSend is called just before the first byte is written. If it returns an
	// error, the call is not sent. It may be nil.
	BeforeSend func() error
}

// Token is one generated token of a streamed response.
type Token struct {
	Index int // position in the whole output, from zero
	Text  string
}

// Response is the complete response to a call.
type Response struct {
	Output          string
	GeneratedTokens int           // tokens that the endpoint generated for this call
	CachedTokens    int           // prompt tokens found in the prefix cache
	PromptTokens    int           // number of prompt tokens
	BusyTime        time.Duration // processing time that the endpoint reports
	FinishReason    string        // why the generation ended: "stop" or "length"

	// DroppedEvents is the number of events that were ignored, since they belong to
	// another call or repeat an earlier token.
	DroppedEvents int
}

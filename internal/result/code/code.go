// Package code defines the numbered result codes of refused and failed requests.
// The thousands digit is the class: 1 not run, 2 unknown, 3 failed. docs/CODES.md
// is generated from this package; a test checks that it is up to date.
package code

// This file defines Code and its definitions.

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/jacinthstile/jacinthstile/internal/result/class"
)

// Code is a numbered result code, such as 1008 (no_key).
type Code int

// Codes of class "not run".
const (
	BadJSON          Code = 1001
	BodyTooLarge     Code = 1002
	WrongMethod      Code = 1003
	NoSuchPath       Code = 1004
	UnknownPipeline  Code = 1005
	UnknownModel     Code = 1006
	UnknownService   Code = 1007
	NoKey            Code = 1008
	UnknownAccount   Code = 1009
	BadDeadline      Code = 1010
	BadField         Code = 1011
	RateLimited      Code = 1101
	CapReached       Code = 1102
	Overloaded       Code = 1103
	NoEndpoint       Code = 1104
	NotReady         Code = 1105
	NoTime           Code = 1106
	LimitUnavailable Code = 1107
	EndpointRefused  Code = 1108
	PromptHeld       Code = 1109
	RequestHeld      Code = 1110
	StreamUnknown    Code = 1111
	VersionGone      Code = 1112
	TicketRequired   Code = 1201
	TicketInvalid    Code = 1202
	TicketExpired    Code = 1203
	TicketReused     Code = 1204
	TicketStoreFull  Code = 1205
)

// Codes of class "unknown".
const (
	AnswerLost        Code = 2001
	DeadlineOver      Code = 2002
	IssuerGone        Code = 2003
	TicketUnreachable Code = 2004
	TicketForgotten   Code = 2005
)

// Codes of class "failed".
const (
	StageFailed  Code = 3001
	StreamBroken Code = 3002
	OutOfTime    Code = 3003
	AnswerBad    Code = 3004
	Internal     Code = 3005
	ReplyDropped Code = 3006
)

type definition struct {
	name   string
	status int
	text   string
}

var definitions = map[Code]definition{
	BadJSON:           {"bad_json", http.StatusBadRequest, "the body is not the JSON that the path takes"},
	BodyTooLarge:      {"body_too_large", http.StatusRequestEntityTooLarge, "the body is larger than the settings allow"},
	WrongMethod:       {"wrong_method", http.StatusMethodNotAllowed, "the path does not take this method"},
	NoSuchPath:        {"no_such_path", http.StatusNotFound, "no interface has this path"},
	UnknownPipeline:   {"unknown_pipeline", http.StatusNotFound, "the table has no pipeline of this name"},
	UnknownModel:      {"unknown_model", http.StatusNotFound, "the table has no model of this name"},
	UnknownService:    {"unknown_service", http.StatusNotFound, "the table has no such service or operation"},
	NoKey:             {"no_key", http.StatusUnauthorized, "the request has no bearer key"},
	UnknownAccount:    {"unknown_account", http.StatusUnauthorized, "no client account has this key"},
	BadDeadline:       {"bad_deadline", http.StatusBadRequest, "the deadline header is not a positive number of milliseconds"},
	BadField:          {"bad_field", http.StatusBadRequest, "a field of the body has a value that is not allowed"},
	RateLimited:       {"rate_limited", http.StatusTooManyRequests, "the client account is above its rate"},
	CapReached:        {"cap_reached", http.StatusTooManyRequests, "the client account is at its cap of requests in flight"},
	Overloaded:        {"overloaded", http.StatusServiceUnavailable, "the queue cannot serve the request in time"},
	NoEndpoint:        {"no_endpoint", http.StatusServiceUnavailable, "no endpoint of the stage may take work"},
	NotReady:          {"not_ready", http.StatusServiceUnavailable, "the instance has no table in force, or is stopping"},
	NoTime:            {"no_time", http.StatusServiceUnavailable, "the deadline is too near for the stages to finish"},
	LimitUnavailable:  {"limit_unavailable", http.StatusServiceUnavailable, "the share of the account's limit is in doubt here"},
	EndpointRefused:   {"endpoint_refused", http.StatusServiceUnavailable, "the endpoint refused before running, and the table trusts its refusals"},
	PromptHeld:        {"prompt_held", http.StatusServiceUnavailable, "engines crashed under requests with a part of this prompt; the same prompt will be refused for minutes"},
	RequestHeld:       {"request_held", http.StatusServiceUnavailable, "endpoints crashed under equal requests; if no time to return is given, they will be refused for an hour"},
	StreamUnknown:     {"stream_unknown", http.StatusServiceUnavailable, "no instance knows which version of the endpoints' software began the stream, and several may have; start the request anew"},
	VersionGone:       {"version_gone", http.StatusServiceUnavailable, "no endpoint of the version that began the stream may take it up; start the request anew"},
	TicketRequired:    {"ticket_required", http.StatusPreconditionRequired, "the operation is not idempotent and needs a ticket"},
	TicketInvalid:     {"ticket_invalid", http.StatusBadRequest, "the ticket is malformed, forged or of another client account"},
	TicketExpired:     {"ticket_expired", http.StatusGone, "the ticket has expired unused"},
	TicketReused:      {"ticket_reused", http.StatusConflict, "the ticket was used for another call"},
	TicketStoreFull:   {"ticket_store_full", http.StatusServiceUnavailable, "the instance holds as many tickets as it can"},
	AnswerLost:        {"answer_lost", http.StatusBadGateway, "the call was sent and no whole answer came"},
	DeadlineOver:      {"deadline_over", http.StatusGatewayTimeout, "the call was sent and the deadline passed"},
	IssuerGone:        {"issuer_gone", http.StatusBadGateway, "the instance that issued the ticket is gone; the call may have run"},
	TicketUnreachable: {"ticket_unreachable", http.StatusBadGateway, "the ticket's issuer was not asked; an earlier use of the ticket may have run, so ask again with the same ticket"},
	TicketForgotten:   {"ticket_forgotten", http.StatusGone, "the ticket expired some time ago and its issuer no longer knows whether it was used"},
	StageFailed:       {"stage_failed", http.StatusBadGateway, "a stage ran and failed"},
	StreamBroken:      {"stream_broken", http.StatusBadGateway, "the stream lost its engine and could not be resumed"},
	OutOfTime:         {"out_of_time", http.StatusGatewayTimeout, "the deadline passed after some stages had run"},
	AnswerBad:         {"answer_bad", http.StatusBadGateway, "a stage answered, and the answer was not whole or not its own"},
	Internal:          {"internal", http.StatusInternalServerError, "the daemon met a state that it does not handle"},
	ReplyDropped:      {"reply_dropped", http.StatusGone, "the call ran and was answered once; its reply was too large to hold for a repeat"},
}

// All returns every code in ascending order.
func All() []Code {
	codes := make([]Code, 0, len(definitions))
	for c := range definitions {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}

// Class returns the class that the thousands digit of the code denotes.
func (c Code) Class() class.Class { return class.Class(c / 1000) }

// Status returns the HTTP status of responses with this code. An undefined code
// has status 500.
func (c Code) Status() int {
	if e, ok := definitions[c]; ok {
		return e.status
	}
	return http.StatusInternalServerError
}

// String returns the name that responses contain, such as "no_key".
func (c Code) String() string {
	if e, ok := definitions[c]; ok {
		return e.name
	}
	return fmt.Sprintf("code(%d)", int(c))
}

// Text returns a description of the code in one sentence. It is empty for an
// undefined code.
func (c Code) Text() string { return definitions[c].text }

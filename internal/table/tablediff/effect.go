package tablediff

// This file describes the effects of changes.

import "strings"

// removed returns the effect of removing a row, or "" if there is none to mention.
func removed(row string) string {
	kind, _, _ := strings.Cut(row, " ")
	switch kind {
	case "endpoint":
		return "no new work within 3 s; streams there resume elsewhere"
	case "account":
		return "its keys are refused"
	case "route":
		return "its requests are refused, or go to a route with a shorter prefix"
	case "pipeline", "model", "service":
		return "requests that name it are refused"
	default:
		return ""
	}
}

// effect returns the effect of a changed column, or "" if there is none to mention.
func effect(row, column, was, is string) string {
	kind, _, _ := strings.Cut(row, " ")
	switch kind {
	case "endpoint", "centre":
		return effectOfLocation(column, was, is)
	case "account":
		return effectOfAccount(column, was, is)
	case "policy":
		return effectOfPolicy(column)
	case "route":
		return effectOfRoute(column, is)
	default:
		return ""
	}
}

func effectOfLocation(column, was, is string) string {
	switch {
	case column == "weight" && is == "0":
		return "drains: no new work within 3 s, what runs there finishes"
	case column == "weight" && was == "0":
		return "takes new work again"
	case column == "weight":
		return "its share of new work changes"
	case column == "leave" && is == "":
		return "no leaving date any more"
	case column == "leave":
		return "must be empty by then"
	case column == "address":
		return "calls go to the new address"
	case column == "models":
		return "the engine is ordered to hold these models"
	case column == "role":
		return "the engine is ordered to change role"
	default:
		return ""
	}
}

func effectOfAccount(column, was, is string) string {
	limit := column == "rate" || column == "cap"
	switch {
	case column == "keys":
		return "keys that are no longer listed are refused"
	case limit && is == "0":
		return "no limit any more"
	case limit && was == "0":
		return "limited from now on"
	case column == "digest":
		return "the key that was valid is refused, the new one is accepted"
	default:
		return ""
	}
}

func effectOfPolicy(column string) string {
	switch column {
	case "seats":
		return "the accounts' limits are shared out anew"
	case "store", "away":
		return "the pace of model loads changes"
	default:
		return ""
	}
}

func effectOfRoute(column, is string) string {
	switch column {
	case "service", "backends":
		return "its requests go to other endpoints"
	case "host", "prefix":
		return "requests that matched before are refused, or go to another route"
	case "kind":
		return "what may be sent again changes"
	case "public":
		if is == "true" {
			return "its requests need no key any more"
		}
		return "its requests need a key from now on"
	default:
		return ""
	}
}

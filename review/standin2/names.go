//go:build review2

package main

// This file reads the names of the platform's protocol, which stand in a data file: in the project's Go files only
// platform/ holds them.

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var nameList string

var names = parseNames(nameList)

func parseNames(text string) map[string]string {
	m := make(map[string]string)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		short, name, _ := strings.Cut(line, " ")
		m[short] = name
	}
	return m
}

// wireName returns a name of the protocol by a short one.
func wireName(short string) string {
	n, ok := names[short]
	if !ok {
		panic("got the unknown name " + short)
	}
	return n
}

//go:build review

package main

// This file gives the platform's names, which wire.json holds.

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

var wireNames = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(wireFile, &m); err != nil {
		panic("standin: decoding wire.json: " + err.Error())
	}
	return m
}()

// wire returns a name of the platform.
func wire(key string) string {
	name := wireNames[key]
	if name == "" {
		panic("standin: wire.json has no " + key)
	}
	return name
}

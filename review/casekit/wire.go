package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of the platform's interface that Go files outside its adapter
// do not contain.
//
//go:embed wire.json
var wireFile []byte

var wire = readWireNames()

// wireNames are names that the stand-ins speak.
type wireNames struct {
	RequestID     string `json:"request_id"` // header field
	Deadline      string `json:"deadline"`   // header field, milliseconds left
	Target        string `json:"target"`     // header field, instance that a request is meant for
	Signature     string `json:"signature"`  // header field of an instance's answer
	Instance      string `json:"instance"`   // header field, identity of the instance that answers
	InstanceCalls string `json:"instance_calls"`
	Cold          string `json:"cold"` // milliseconds until an instance is at full speed
}

func readWireNames() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

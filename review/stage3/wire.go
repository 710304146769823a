package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// names are the platform's names of header fields, calls and fields of bodies. Go files
// outside the adapter do not contain them.
type names struct {
	RequestID, Deadline, Caller, Target, Instance, Signature string // header fields
	Heartbeat                                                string // call
	Cold                                                     string // field of a heartbeat
	Append, Newest                                           string // calls of the store, with their queries
}

var wire = readNames()

func readNames() (n names) {
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}

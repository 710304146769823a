package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of the platform's interface that no Go file outside the
// adapter has.
//
//go:embed wire.json
var wireFile []byte

// wireNames are the names that the stand-ins speak.
type wireNames struct {
	Headers struct {
		RequestID   string `json:"request_id"`
		Deadline    string `json:"deadline"` // milliseconds left
		Target      string `json:"target"`   // instance that a request is meant for
		Caller      string `json:"caller"`   // service at whose machine a request began
		NotExecuted string `json:"not_executed"`
		Signature   string `json:"signature"` // of an instance's answer
		Instance    string `json:"instance"`  // identity of an instance, in its answers
	} `json:"headers"`
	Calls struct {
		Heartbeat  string `json:"heartbeat"`
		Deregister string `json:"deregister"`
	} `json:"calls"` // paths, before the identity of the instance
	Heartbeat struct {
		Cold string `json:"cold"` // milliseconds until the instance is at full speed
	} `json:"heartbeat"`
}

var (
	wire = readWireNames()

	headerRequestID   = wire.Headers.RequestID
	headerDeadline    = wire.Headers.Deadline
	headerTarget      = wire.Headers.Target
	headerCaller      = wire.Headers.Caller
	headerNotExecuted = wire.Headers.NotExecuted
	headerSignature   = wire.Headers.Signature
	headerInstance    = wire.Headers.Instance
)

func readWireNames() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

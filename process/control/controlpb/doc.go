// Package controlpb holds the generated code of the drpc service between nodes.
// After a change of control.proto regenerate it with go generate; protoc, and
// protoc-gen-go and protoc-gen-go-drpc of the versions in go.mod, must be on the
// PATH.
//
// It imports nothing else of this module.
package controlpb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. control.proto

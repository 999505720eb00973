// Package wire defines the protobuf messages and the drpc service with which an agent hands over a request
// to another agent. It is generated from hand.proto and contains no logic; package hand defines what the
// messages mean and is their only user.
//
// # Usage
//
//	stream, err := wire.NewDRPCHandClient(conn).Run(ctx)
//	err = stream.Send(&wire.Up{Part: &wire.Up_Head{Head: head}})
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative hand.proto

// Package wire holds the messages and the drpc service by which one agent hands a
// request to another. It is generated from hand.proto; package hand gives the
// messages their meaning and is the only one to use them.
//
// # Usage
//
//	stream, err := wire.NewDRPCHandClient(conn).Run(ctx)
//	err = stream.Send(&wire.Up{Part: &wire.Up_Head{Head: head}})
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative hand.proto

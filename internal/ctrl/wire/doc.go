// Package wire defines the protobuf messages and the drpc service that processes use to exchange control
// state. It is generated from wire.proto and contains no logic; package relay defines what the messages
// mean.
//
// # Usage
//
//	client := wire.NewDRPCRelayClient(conn)
//	reply, err := client.Exchange(ctx, &wire.Summary{Root: 7})
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto

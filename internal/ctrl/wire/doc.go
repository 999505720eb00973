// Package wire is what control sends between processes: messages in protobuf,
// the service in drpc. It is generated from wire.proto and holds no logic;
// package relay says what the messages mean.
//
// # Usage
//
//	client := wire.NewDRPCRelayClient(conn)
//	reply, err := client.Exchange(ctx, &wire.Summary{Root: 7})
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto

// Package link implements the gRPC clients and servers that the processes of the
// system use to exchange requests, orders, claims, shares, heartbeats and
// configuration.
//
// It is the only package that encodes and decodes the messages defined in linkpb.
// It calls the packages that make decisions through the interfaces of the root
// package, so that another front end can use them as well.
//
// # Usage
//
// A process that serves other processes registers its services on one [Server]:
//
//	server, cleanup, err := link.NewServer("127.0.0.1:7000", nil, register)
//
// A process that calls other processes gets its connections from one [Connections]:
//
//	connections, cleanup := link.NewConnections(nil)
//	conn, err := connections.To("127.0.0.1:7000")
package link

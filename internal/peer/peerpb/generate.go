// Package peerpb holds the generated code of the control protocol between daemons.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative peer.proto

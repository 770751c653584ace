// Package recordpb holds the generated code of the records kept in the log service.
package recordpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative record.proto

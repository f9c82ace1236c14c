// Package configurationpb holds the protobuf types of the operator's configuration, generated from
// configuration.proto by "go generate ./internal/configuration".
package configurationpb

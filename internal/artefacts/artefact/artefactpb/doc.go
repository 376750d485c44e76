// Package artefactpb holds the protobuf records of the artefact store, as they are
// stored in its segments and sent between its instances. artefact.pb.go is generated
// from artefact.proto by
//
//	protoc --go_out=. --go_opt=paths=source_relative artefact.proto
package artefactpb

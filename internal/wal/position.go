package wal

// Position says where the payload of one record lies. It goes into snapshots of a log's owner as JSON: its names there are
// those of the fields, and stay.
type Position struct {
	Segment uint64 `json:"Segment"` // the segment's number
	Offset  int64  `json:"Offset"`  // of the payload in the segment's file, in bytes
	Length  int32  `json:"Length"`  // of the payload, in bytes
}

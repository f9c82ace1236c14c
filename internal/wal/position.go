package wal

// Position locates the payload of one record. The log's owner stores positions as JSON in its snapshots, so the JSON
// names must not change.
type Position struct {
	Segment uint64 `json:"Segment"` // the segment's number
	Offset  int64  `json:"Offset"`  // of the payload in the segment's file, in bytes
	Length  int32  `json:"Length"`  // of the payload, in bytes
}

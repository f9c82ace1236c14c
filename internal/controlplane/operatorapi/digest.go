package operatorapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

// largestExactInteger is the largest integer up to which a float64 represents every integer exactly.
const largestExactInteger = 1 << 53

// requestDigest returns the digest of a configuration request, in hexadecimal. Requests with the same method, path,
// base version and JSON value have the same digest. Digests are stored in logs and snapshots, so they must not change.
func requestDigest(call cluster.OperatorRequest, base uint64, body []byte) (string, error) {
	canonical, err := canonicalJSON(body)
	if err != nil {
		return "", trace.Wrap(err)
	}
	hash := sha256.New()
	for _, part := range []string{call.Method, call.Path, strconv.FormatUint(base, 10)} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(canonical)
	return hex.EncodeToString(hash.Sum(nil)[:16]), nil
}

// canonicalJSON returns the canonical form of a JSON value: no space between tokens, members sorted by name, and equal
// numbers written alike.
func canonicalJSON(body []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, trace.BadParameter("more than one JSON value")
	}
	canonical, err := json.Marshal(canonicalValue(value))
	return canonical, trace.Wrap(err)
}

func canonicalValue(value any) any {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			value[name] = canonicalValue(member)
		}
	case []any:
		for i, element := range value {
			value[i] = canonicalValue(element)
		}
	case json.Number:
		return canonicalNumber(value)
	}
	return value
}

// canonicalNumber returns the same value for 90, 90.0 and 9e1. Integers keep all their digits.
func canonicalNumber(number json.Number) any {
	if !strings.ContainsAny(number.String(), ".eE") {
		return number
	}
	float, err := number.Float64()
	if err != nil {
		return number
	}
	if float == math.Trunc(float) && math.Abs(float) < largestExactInteger {
		return json.Number(strconv.FormatInt(int64(float), 10))
	}
	return float
}

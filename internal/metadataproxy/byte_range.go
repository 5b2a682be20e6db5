package metadataproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// rangeKind tells how a request with a Range header must be answered (RFC 9110, section 14.2).
type rangeKind uint8

const (
	rangeIgnored       rangeKind = iota // no range, a malformed range, or more than one range: the response is the whole file
	rangePartial                        // one range: the response is that part of the file
	rangeUnsatisfiable                  // the range begins after the end of the file: the response has status 416
)

// byteRange is a part of a file, given by the offsets of its first and last byte, both included.
type byteRange struct {
	first int64
	last  int64
}

// wholeFile returns the range of all bytes of a file of the given length.
func wholeFile(length int64) byteRange { return byteRange{first: 0, last: length - 1} }

func (b byteRange) length() int64 { return b.last - b.first + 1 }

// contentRange returns the Content-Range header of a partial response from a file of the given length.
func (b byteRange) contentRange(length int64) string {
	return fmt.Sprintf("bytes %d-%d/%d", b.first, b.last, length)
}

// parseRange parses a Range header for a file of the given length. If the kind is rangeIgnored the returned range is the
// whole file; if it is rangeUnsatisfiable the returned range must not be used.
func parseRange(header string, length int64) (byteRange, rangeKind) {
	ignored := wholeFile(length)
	list, ok := strings.CutPrefix(header, "bytes=")
	first, last, cut := strings.Cut(strings.TrimSpace(list), "-")
	if !ok || !cut || strings.Contains(list, ",") {
		return ignored, rangeIgnored
	}
	if first == "" {
		return parseSuffixRange(last, length)
	}
	requested := byteRange{last: length - 1}
	var err error
	if requested.first, err = parseOffset(first); err != nil {
		return ignored, rangeIgnored
	}
	if last != "" {
		if requested.last, err = parseOffset(last); err != nil || requested.last < requested.first {
			return ignored, rangeIgnored
		}
	}
	requested.last = min(requested.last, length-1)
	if requested.first >= length {
		return requested, rangeUnsatisfiable
	}
	return requested, rangePartial
}

// parseSuffixRange parses a range that is given as a number of bytes at the end of a file, as in "bytes=-7".
func parseSuffixRange(count string, length int64) (byteRange, rangeKind) {
	n, err := parseOffset(count)
	if err != nil {
		return wholeFile(length), rangeIgnored
	}
	requested := byteRange{first: max(0, length-n), last: length - 1}
	if n == 0 || length == 0 {
		return requested, rangeUnsatisfiable
	}
	return requested, rangePartial
}

// parseOffset parses a byte offset. A negative number is an error.
func parseOffset(digits string) (int64, error) {
	n, err := strconv.ParseInt(digits, 10, 62)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

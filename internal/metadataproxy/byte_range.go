package metadataproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// rangeKind tells how a Range header is to be answered (RFC 9110, section 14.2).
type rangeKind uint8

const (
	rangeIgnored       rangeKind = iota // none, malformed or several: the whole file is the answer
	rangePartial                        // one range of the file
	rangeUnsatisfiable                  // it begins behind the end of the file
)

// byteRange is a part of a file by its first and last byte, both included.
type byteRange struct {
	first int64
	last  int64
}

// wholeFile is the range of all bytes of a file of a length.
func wholeFile(length int64) byteRange { return byteRange{first: 0, last: length - 1} }

func (b byteRange) length() int64 { return b.last - b.first + 1 }

// contentRange is the Content-Range header of a partial answer out of a file of a length.
func (b byteRange) contentRange(length int64) string {
	return fmt.Sprintf("bytes %d-%d/%d", b.first, b.last, length)
}

// parseRange reads a Range header for a file of a length. Where the kind is rangeIgnored the range is the whole file;
// where it is rangeUnsatisfiable the range is of no use.
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

// parseSuffixRange reads the range of the last bytes of a file.
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

// parseOffset reads a byte offset, which is never negative.
func parseOffset(digits string) (int64, error) {
	n, err := strconv.ParseInt(digits, 10, 62)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

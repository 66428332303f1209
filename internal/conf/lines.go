package conf

import "bytes"

// LineCounter finds the lines of ascending offsets in a text. All calls of Line together read the text once.
type LineCounter struct {
	text   []byte
	offset int // all before it is counted
	line   int // of offset
}

// NewLineCounter returns a LineCounter at the beginning of a text.
func NewLineCounter(text []byte) *LineCounter { return &LineCounter{text: text, line: 1} }

// Line returns the number of the line, from 1 on, that an offset in bytes lies in. It starts again from the beginning of
// the text if the offset is less than that of an earlier call.
func (c *LineCounter) Line(offset int) int {
	if offset < c.offset {
		c.offset, c.line = 0, 1
	}
	offset = min(offset, len(c.text))
	c.line += bytes.Count(c.text[c.offset:offset], []byte{'\n'})
	c.offset = offset
	return c.line
}

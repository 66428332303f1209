package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"chuteweir.example/chuteweir/internal/conf"
)

// keyWalker walks over a JSON text and notes the lines of its keys.
type keyWalker struct {
	decoder *json.Decoder
	counter *conf.LineCounter
	lines   map[string]int // by path, such as settings.classes.0.repeat
}

// linesOfKeys returns the lines of the keys in one section of a JSON object, by their paths, such as
// settings.classes.0.repeat. Other sections are skipped: that of the receivers grows with the fleet. Of a malformed text
// it returns the lines up to the error.
func linesOfKeys(text []byte, section string) map[string]int {
	w := &keyWalker{decoder: json.NewDecoder(bytes.NewReader(text)), counter: conf.NewLineCounter(text),
		lines: map[string]int{}}
	if token, err := w.decoder.Token(); err != nil || token != json.Delim('{') {
		return w.lines
	}
	for w.decoder.More() {
		key, err := w.decoder.Token()
		if err != nil {
			return w.lines
		}
		if key != section {
			var skipped json.RawMessage
			err = w.decoder.Decode(&skipped)
		} else {
			w.note(section)
			err = w.walk(section)
		}
		if err != nil {
			return w.lines
		}
	}
	return w.lines
}

// note records that the key or element with a path ends at the decoder's position.
func (w *keyWalker) note(path string) { w.lines[path] = w.counter.Line(int(w.decoder.InputOffset())) }

// walk reads the value of the key with a path, and notes the keys and elements in it.
func (w *keyWalker) walk(path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	delim, nested := token.(json.Delim)
	if !nested {
		return nil
	}
	for i := 0; w.decoder.More(); i++ {
		child := strconv.Itoa(i)
		if delim == '{' {
			key, err := w.decoder.Token()
			if err != nil {
				return err
			}
			child = fmt.Sprint(key)
		}
		child = path + "." + child
		w.note(child)
		if err := w.walk(child); err != nil {
			return err
		}
	}
	_, err = w.decoder.Token()
	return err
}

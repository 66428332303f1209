package scenario

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"chuteweir.example/chuteweir/rules"
)

// traceHeader is the first line of a file of recorded traffic.
var traceHeader = []string{"at_ms", "destination", "grade", "portfolio", "key", "body"}

// Recorded is a notice of recorded traffic: an Arrival whose grade and portfolio are given by name.
type Recorded struct {
	At               rules.Millis
	Destination      int
	Grade, Portfolio string
	Key, Body        int
}

// WriteTrace writes recorded traffic as CSV. The notices must be sorted by time.
func WriteTrace(out io.Writer, notices []Recorded) error {
	w := csv.NewWriter(out)
	w.Write(traceHeader)
	for _, notice := range notices {
		w.Write([]string{strconv.FormatFloat(float64(notice.At), 'f', 3, 64), strconv.Itoa(notice.Destination),
			notice.Grade, notice.Portfolio, strconv.Itoa(notice.Key), strconv.Itoa(notice.Body)})
	}
	w.Flush()
	return w.Error()
}

// readTrace reads recorded traffic into s.Trace. A relative path is relative to the directory of the scenario's file.
func (s *Scenario) readTrace(scenarioPath, path string) error {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(scenarioPath), path)
	}
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("reading the trace: %w", err)
	}
	defer file.Close()
	reader := csv.NewReader(file)
	reader.FieldsPerRecord = len(traceHeader)
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, traceHeader) {
		return fmt.Errorf("%s:1: the first line must be %v", path, traceHeader)
	}
	destinations := 0
	for _, g := range s.Groups {
		destinations += g.Destinations
	}
	last := rules.Millis(0)
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			if len(s.Trace) == 0 {
				return fmt.Errorf("%s: the file has no notices", path)
			}
			return nil
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		invalidField := func(field int, expected string) error {
			return fmt.Errorf("%s:%d: %s: %q; right would be %s",
				path, line, traceHeader[field], fields[field], expected)
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil || !(rules.Millis(at) >= last) {
			return invalidField(0, fmt.Sprintf("milliseconds, at least the %.3f of the line before", last))
		}
		arrival := Arrival{At: rules.Millis(at)}
		last = arrival.At
		if arrival.Destination, err = strconv.Atoi(fields[1]); err != nil || arrival.Destination < 1 ||
			arrival.Destination > destinations {
			return invalidField(1, fmt.Sprintf("a number from 1 to %d, the scenario's destinations", destinations))
		}
		if arrival.Grade = slices.Index(s.Names.Grades, fields[2]); arrival.Grade < 0 {
			return invalidField(2, fmt.Sprintf("one of %v", s.Names.Grades))
		}
		if arrival.Portfolio = max(slices.Index(s.Names.Portfolios, fields[3]), 0); fields[3] != "" &&
			!slices.Contains(s.Names.Portfolios, fields[3]) {
			return invalidField(3, fmt.Sprintf("one of %v, or nothing", s.Names.Portfolios))
		}
		if arrival.Key, err = strconv.Atoi(fields[4]); err != nil || arrival.Key < 0 {
			return invalidField(4, "a number, 0 for no key")
		}
		if arrival.Body, err = strconv.Atoi(fields[5]); err != nil || arrival.Body < 0 || arrival.Body > 65_536 {
			return invalidField(5, "a number of bytes, at most 65536")
		}
		s.Trace = append(s.Trace, arrival)
	}
}

package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"chuteweir.example/chuteweir/internal/conf"
	"chuteweir.example/chuteweir/internal/directory"
	"chuteweir.example/chuteweir/internal/limits"
	"chuteweir.example/chuteweir/internal/settings"
)

// This file reads and writes the platform's JSON.

// platformFile is the platform's JSON form of a configuration.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits.Machine  `json:"limits"`
	Known     directory.List  `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// FromPlatform reads the platform's JSON. The faults are values that make no sense but do not keep a sender from
// starting.
func FromPlatform(path string, text []byte, state string) (Config, conf.Faults, error) {
	var file platformFile
	config := Config{StateDir: state, Format: "text", Level: "info"}
	if err := json.Unmarshal(text, &file); err != nil {
		return config, nil, fmt.Errorf("%s: %w", errorLocation(path, text, err), err)
	}
	if file.Listen == "" || file.Discovery == "" {
		return config, nil, fmt.Errorf("%s: listen or discovery is empty; each must be an address", path)
	}
	var err error
	if config.Settings, config.Names, err = settings.Read(file.Settings); err != nil {
		return config, nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if config.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return config, nil, fmt.Errorf("%s: seed: %w", path, err)
	}
	config.Name, config.Listen, config.Discovery, config.InitialList, config.Machine = file.Name, file.Listen,
		file.Discovery, file.Known, file.Limits
	return config, settingsWarnings(path, text, file.Settings), nil
}

// errorLocation returns the path with the line of a JSON error, if the error has one.
func errorLocation(path string, text []byte, err error) string {
	offset := int64(-1)
	switch e := err.(type) {
	case *json.SyntaxError:
		offset = e.Offset
	case *json.UnmarshalTypeError:
		offset = e.Offset
	}
	if offset < 0 || offset > int64(len(text)) {
		return path
	}
	return fmt.Sprintf("%s:%d", path, 1+strings.Count(string(text[:offset]), "\n"))
}

// settingsWarnings lists the values in the platform's settings that make no sense but do not keep a sender from
// starting.
func settingsWarnings(path string, text []byte, rawSettings json.RawMessage) conf.Faults {
	warnings := settings.Warnings(rawSettings)
	if len(warnings) == 0 {
		return nil
	}
	var faults conf.Faults
	keyLines := linesOfKeys(text, "settings")
	for _, warning := range warnings {
		key := "settings." + warning.Key
		faults = append(faults, conf.Fault{File: path, Line: keyLines[key], Key: key,
			Problem: warning.Problem, Expected: warning.Expected})
	}
	slices.SortStableFunc(faults, func(a, b conf.Fault) int { return a.Line - b.Line })
	return faults
}

// Platform returns the configuration as the platform's JSON. The log settings and the state directory, which that form
// does not have, are left out.
func (c Config) Platform() ([]byte, error) {
	rawSettings, err := settings.Write(c.Settings, c.Names)
	if err != nil {
		return nil, err
	}
	known := c.InitialList
	if known.Members == nil {
		known.Members = []directory.Member{}
	}
	return json.MarshalIndent(platformFile{Name: c.Name, Listen: c.Listen, Discovery: c.Discovery,
		Seed: strconv.FormatUint(c.Seed, 16), Limits: c.Machine, Known: known, Settings: rawSettings}, "", " ")
}

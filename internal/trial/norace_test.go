//go:build !race

package trial

var buildFlags []string

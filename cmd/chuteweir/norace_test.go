//go:build !race

package main

var buildFlags = []string{}

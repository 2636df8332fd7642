package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"apricotrudder.dev/apricotd/observer"
)

// Guards against an explanation that leaves out a server or the reason against it.
func TestWhereText(t *testing.T) {
	read := func(name string) []byte {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	var w observer.Where
	if err := json.Unmarshal(read("where.json"), &w); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := writeWhere(&got, &w); err != nil {
		t.Fatal(err)
	}
	if want := string(read("where.txt")); got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

package sequencer

import "testing"

func TestIsBehind(t *testing.T) {
	held := Versions{Tables: 5, Servers: Position{Era: 2, Revision: 20}}
	for name, c := range map[string]struct {
		announced Versions
		want      bool
	}{
		"same state":                       {held, false},
		"newer tables":                     {Versions{Tables: 6, Servers: Position{Era: 1, Revision: 1}}, true},
		"higher revision":                  {Versions{Servers: Position{Era: 2, Revision: 21}}, true},
		"lower revision":                   {Versions{Servers: Position{Era: 2, Revision: 19}}, false},
		"higher revision of an older era":  {Versions{Servers: Position{Era: 1, Revision: 99}}, false},
		"lower revision of a later era":    {Versions{Servers: Position{Era: 3, Revision: 1}}, true},
		"higher revision without an era":   {Versions{Servers: Position{Era: NoEra, Revision: 21}}, true},
		"lower revision without an era":    {Versions{Servers: Position{Era: NoEra, Revision: 19}}, false},
		"later era without a server list":  {Versions{Servers: Position{Era: 3}}, false},
		"older tables, same position":      {Versions{Tables: 4, Servers: held.Servers}, false},
		"nothing":                          {Versions{}, false},
		"nothing, from an older program":   {Versions{Servers: Position{Era: NoEra}}, false},
		"older tables, later era":          {Versions{Tables: 4, Servers: Position{Era: 3, Revision: 1}}, true},
		"newer tables, without a position": {Versions{Tables: 6}, true},
	} {
		if got := held.IsBehind(c.announced); got != c.want {
			t.Errorf("%s: got %t, want %t", name, got, c.want)
		}
	}
}

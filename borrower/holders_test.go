package borrower

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

func TestHolderIndex(t *testing.T) {
	tests := []struct {
		name string
		// registered are the hosts that register for the program, in order.
		registered []string
		// want are the holders that the last one finds.
		want []string
	}{
		{"first holder", []string{"a"}, []string{}},
		{"second holder", []string{"a", "b"}, []string{"a"}},
		{"same holder again", []string{"a", "a"}, []string{}},
		{"latest holder first", []string{"a", "b", "c"}, []string{"b", "a"}},
		{"back at the first holder", []string{"a", "b", "a"}, []string{"b"}},
		{"oldest holder is forgotten", []string{"a", "b", "c", "d", "e"}, []string{"d", "c", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newHolderIndex(time.Minute)
			x.register("other", "z")
			var got []string
			for _, host := range test.registered {
				got = x.register("p", host)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("holders (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against daemons that look for a program's holders at different places, and against one daemon
// that keeps the index of most programs.
func TestIndexDaemon(t *testing.T) {
	const daemons, programs = 20, 4000
	all := make([]messenger.Peer, daemons)
	for i := range all {
		all[i] = messenger.Peer{Host: fmt.Sprint("host-", i)}
	}
	borrowers := make([]*Borrower, daemons)
	for i := range borrowers {
		borrowers[i] = New(nil, nil, all[i].Host, "run", DefaultOptions(), nil)
	}
	now := time.Now()
	kept := map[string]int{}
	for i := range programs {
		program := fmt.Sprintf("program-%04x", i*7919)
		chosen := borrowers[0].indexDaemon(now, program, all)
		kept[chosen.Host]++
		for _, b := range borrowers[1:] {
			if got := b.indexDaemon(now, program, all); got.Host != chosen.Host {
				t.Fatalf("program %s: index at %s and %s", program, chosen.Host, got.Host)
			}
		}
	}
	for host, n := range kept {
		if n > 2*programs/daemons {
			t.Errorf("%s keeps the index of %d of %d programs", host, n, programs)
		}
	}
	silent := borrowers[0].indexDaemon(now, "p", all[1:])
	borrowers[0].holders.recordSilent(now, silent.Host)
	if got := borrowers[0].indexDaemon(now, "p", all[1:]); got.Host == silent.Host {
		t.Errorf("%s is asked again although it did not reply", got.Host)
	}
	if got := borrowers[0].indexDaemon(now.Add(indexRetryDelay), "p", all[1:]); got.Host != silent.Host {
		t.Errorf("%s is not asked again later", silent.Host)
	}
}

package allocator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dogwoodweir/dogwoodweir/messenger"
)

func member(host, domain string) Member {
	return Member{Peer: messenger.Peer{Host: host, Address: host}, Domain: domain}
}

// Guards against daemons that all watch a partition, or that are lost together with its owner.
func TestClaimants(t *testing.T) {
	tests := []struct {
		name  string
		order []Member
		want  []string
	}{
		{"different failure domains first", []Member{member("a", "x"), member("b", "x"), member("c", "y"), member("d", "z"), member("e", "w")}, []string{"a", "c", "d"}},
		{"fewer failure domains", []Member{member("a", "x"), member("b", "x"), member("c", "y"), member("d", "x")}, []string{"a", "c", "b"}},
		{"alone", []Member{member("a", "x")}, []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, m := range claimants(test.order) {
				got = append(got, m.Host)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("claimants (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against daemons that own most partitions, and against orders that depend on that of the list.
func TestRendezvousOrder(t *testing.T) {
	const hosts, partitions, maxOwned = 80, 16, 4
	var members []Member
	for i := range hosts {
		members = append(members, member(fmt.Sprint("host-", i), fmt.Sprint("domain-", i%6)))
	}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	owned := map[string]int{}
	for p := range partitions {
		partition := fmt.Sprint("p", p)
		order := rendezvousOrder(partition, members)
		if diff := cmp.Diff(order, rendezvousOrder(partition, reversed)); diff != "" {
			t.Errorf("order of partition %s depends on that of the list:\n%s", partition, diff)
		}
		owned[order[0].Host]++
	}
	for host, n := range owned {
		if n > maxOwned {
			t.Errorf("%s is first for %d of %d partitions", host, n, partitions)
		}
	}
}

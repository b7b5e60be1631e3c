package prefix_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/pkg/prefix"
)

func TestChainLength(t *testing.T) {
	tests := []struct {
		name   string
		bytes  int
		blocks int
		want   int
	}{
		{"empty", 0, 4, 0},
		{"part of a block", prefix.BlockBytes - 1, 4, 0},
		{"one block", prefix.BlockBytes, 4, 1},
		{"one and a half", prefix.BlockBytes * 3 / 2, 4, 1},
		{"bounded", prefix.BlockBytes * 9, 4, 4},
		{"no blocks wanted", prefix.BlockBytes * 9, 0, 0},
		{"negative bound", prefix.BlockBytes * 9, -1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := prefix.Chain(make([]byte, test.bytes), test.blocks)
			qt.Assert(t, got, qt.HasLen, test.want)
		})
	}
}

// Daemons of different builds exchange these hashes, so the hash function must
// not change.
func TestChainIsStable(t *testing.T) {
	got := prefix.Chain(bytes.Repeat([]byte("stand "), 100), 8)
	qt.Assert(t, got, qt.DeepEquals, []uint64{0xd485371cc9f2a6d1, 0x5506969045834bda})
}

func TestChainsShareExactlyTheCommonBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(0, 5).Draw(t, "common blocks")
		base := bytes.Repeat([]byte{'a'}, common*prefix.BlockBytes)
		rest := rapid.SliceOfN(rapid.Byte(), 3*prefix.BlockBytes, 3*prefix.BlockBytes).Draw(t, "rest")
		other := bytes.Clone(rest)
		other[0]++
		one := prefix.Chain(append(bytes.Clone(base), rest...), 100)
		two := prefix.Chain(append(bytes.Clone(base), other...), 100)
		known := map[uint64]bool{}
		for _, hash := range one {
			known[hash] = true
		}
		got := prefix.CachedBlocks(two, func(hash uint64) bool { return known[hash] })
		if got != common {
			t.Fatalf("shared blocks: got %d, want %d", got, common)
		}
	})
}

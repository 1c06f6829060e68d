package garnetworks

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of a prompt prefix block.
const PrefixBlockBytes = 256

// PrefixBlocks returns the hashes of the prompt's whole prefix blocks, at most
// limit of them, as engines name them in cache events: each hash covers the
// block and all blocks before it, and the model and adapter.
func PrefixBlocks(model ModelName, adapter AdapterName, prompt string, limit int) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, limit)
	if count <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, count)
	var link [8]byte
	d := xxhash.New()
	_, _ = d.WriteString(string(model) + "\x00" + string(adapter))
	for i := range count {
		binary.LittleEndian.PutUint64(link[:], d.Sum64())
		d.Reset()
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

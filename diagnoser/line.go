package diagnoser

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/emitter"
)

// maxLine is the longest log line in bytes; a longer one counts as truncated.
const maxLine = 1 << 20

// line holds the decoded fields of a log line.
type line struct {
	At        time.Time                 `json:"@timestamp"`
	Message   string                    `json:"@message"`
	Node      garnetworks.NodeID        `json:"node"`
	Zone      garnetworks.ZoneID        `json:"zone"`
	Group     garnetworks.GroupID       `json:"group"`
	Server    garnetworks.InstanceID    `json:"instance"`
	Call      garnetworks.CallID        `json:"call"`
	Status    int                       `json:"status"`
	Outcome   garnetworks.Outcome       `json:"outcome"`
	Kind      garnetworks.Kind          `json:"kind"`
	Route     string                    `json:"route"`
	Model     garnetworks.ModelName     `json:"model"`
	Workspace garnetworks.WorkspaceName `json:"workspace"`

	Prompt int    `json:"prompt"`
	Answer int    `json:"answer"`
	Body   int    `json:"body"`
	Target string `json:"target"`

	TookMS    int64  `json:"took-ms"`
	FirstMS   int64  `json:"first-ms"`
	WaitedMS  int64  `json:"waited-ms"`
	PauseMS   int64  `json:"pause-ms"`
	LeftMS    int64  `json:"left-ms"`
	WriteMS   int64  `json:"write-ms"`
	StalledMS int64  `json:"stalled-ms"`
	AgeMS     int64  `json:"routing-age-ms"`
	Objective *int64 `json:"objective-ms"`
	MaxPause  int64  `json:"max-pause-ms"`
	TimeoutMS int64  `json:"timeout-ms"`
	Priority  int    `json:"priority"`
	Once      bool   `json:"once"`

	Groups   int               `json:"groups"`
	Spare    int               `json:"spare"`
	Attempts []emitter.Attempt `json:"attempts"`
	Folded   int               `json:"folded"`
}

// read reads all lines of one source.
func (d *Diagnoser) read(source io.Reader) error {
	reader := bufio.NewReaderSize(source, maxLine)
	for {
		text, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			d.lines.Truncated++
			err = skipLine(reader)
			text = nil
		}
		if len(text) > 0 {
			d.addLine(text)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading log")
		}
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// addLine decodes one line (rule D4). Text before the JSON, such as a log collector's
// timestamp, is skipped.
func (d *Diagnoser) addLine(text []byte) {
	d.lines.Read++
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		d.lines.Foreign++
		return
	}
	var l line
	if err := json.Unmarshal(text[begin:], &l); err != nil {
		d.lines.Truncated++
		return
	}
	switch {
	case l.Node == "" || l.At.IsZero():
		d.lines.Foreign++
	case l.Message == emitter.CallEnded:
		d.addCall(&l)
	default:
		d.addEvent(&l)
	}
}

func duration(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

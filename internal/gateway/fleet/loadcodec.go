package fleet

import (
	"encoding/binary"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

// Load reports are sent in one byte string of a heartbeat, which hosts of older versions skip
// at once. It has the age of the message and then the reports, the newest first. A report is
// the key of the run (8 bytes), the number of requests and the age of the report when the
// snapshot was made. Ages are in milliseconds; they and the requests have 2 bytes. All numbers
// are big endian.
//
// A run is identified by the hash of its name. Names have 20 bytes and more, and the receiver
// would allocate them. If two of 20,000 runs had the same hash, which is improbable (1 in
// 10^11), a report would be attributed to the wrong one of them.
const (
	// maxLoadReports is the maximum number of reports in a heartbeat.
	maxLoadReports = 256
	// loadHeaderBytes is the size of the age of a message, and loadReportBytes that of a
	// report.
	loadHeaderBytes = 2
	loadReportBytes = 8 + 2 + 2
	// maxReportedRequests is the maximum number of requests in a report. It is far above
	// what an upstream accepts.
	maxReportedRequests = math.MaxUint16
	// loadReportWindow is the age up to which a report is sent. It exceeds two
	// heartbeatIntervals, so that reports that were lost with a heartbeat are sent with the
	// next one.
	loadReportWindow = 2 * time.Second
	// maxLoadReportAge is the age up to which a received report is accepted. It exceeds
	// loadReportWindow by more than loadSnapshotTTL.
	maxLoadReportAge = 3 * time.Second
)

// errInvalidLoadReports reports that a peer sent load reports that cannot be decoded.
var errInvalidLoadReports = eris.New("invalid load reports")

// RunKey returns the key by which load reports identify a run.
func RunKey(run upstream.Run) uint64 { return xxhash.Sum64String(string(run)) }

// loadSnapshot holds the load reports that this host had received from upstreams at one time.
// Heartbeats to all peers of a short period use the same snapshot. Each of them has the
// reports that are newer than the last exchange with the peer, which are the first ones.
type loadSnapshot struct {
	at time.Time
	// ages are the ages of all reports, the newest first.
	ages []time.Duration
	// encoded has the first maxLoadReports reports.
	encoded []byte
}

// newLoadSnapshot encodes the reports of this host as of now, which are the newest first.
func newLoadSnapshot(reports []balance.LoadReport, now time.Time) *loadSnapshot {
	s := &loadSnapshot{
		at: now, ages: make([]time.Duration, 0, len(reports)),
		encoded: make([]byte, 0, min(len(reports), maxLoadReports)*loadReportBytes),
	}
	for i, r := range reports {
		s.ages = append(s.ages, r.Age)
		if i >= maxLoadReports {
			continue
		}
		s.encoded = binary.BigEndian.AppendUint64(s.encoded, RunKey(r.Run))
		s.encoded = binary.BigEndian.AppendUint16(s.encoded, uint16(min(max(0, r.Requests), maxReportedRequests)))
		s.encoded = appendMilliseconds(s.encoded, r.Age)
	}
	return s
}

func appendMilliseconds(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(0, d.Milliseconds()), math.MaxUint16)))
}

// since returns a message with the reports that were received after a time, the number of
// these reports, and how many more there are that exceed maxLoadReports. The message is nil
// if it has no report.
func (s *loadSnapshot) since(after, now time.Time) (message []byte, sent, cut int) {
	newer, _ := slices.BinarySearch(s.ages, s.at.Sub(after))
	sent = min(newer, maxLoadReports)
	if sent == 0 {
		return nil, 0, 0
	}
	message = make([]byte, 0, loadHeaderBytes+sent*loadReportBytes)
	message = appendMilliseconds(message, now.Sub(s.at))
	return append(message, s.encoded[:sent*loadReportBytes]...), sent, newer - sent
}

// receivedLoad is a load report in a message of a peer. The age may exceed all bounds.
type receivedLoad struct {
	key      uint64
	requests int
	age      time.Duration
}

// decodeLoadReports returns the number of reports in a message, and the reports with their
// ages as of the time when the message was made.
func decodeLoadReports(message []byte) (count int, reports iter.Seq[receivedLoad], err error) {
	count = (len(message) - loadHeaderBytes) / loadReportBytes
	if len(message) != loadHeaderBytes+count*loadReportBytes || count > maxLoadReports {
		return 0, nil, eris.Wrapf(errInvalidLoadReports, "%d bytes, expected %d and %d for each of up to %d reports",
			len(message), loadHeaderBytes, loadReportBytes, maxLoadReports)
	}
	age := decodeMilliseconds(message)
	return count, func(yield func(receivedLoad) bool) {
		for b := range slices.Chunk(message[loadHeaderBytes:], loadReportBytes) {
			r := receivedLoad{key: binary.BigEndian.Uint64(b), requests: int(binary.BigEndian.Uint16(b[8:])), age: age + decodeMilliseconds(b[10:])}
			if !yield(r) {
				return
			}
		}
	}, nil
}

func decodeMilliseconds(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * time.Millisecond
}

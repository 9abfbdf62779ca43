package relayhost

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/boottime"
	"github.com/mulberrystream/mulberrystream/pkg/eventstream"
	"github.com/mulberrystream/mulberrystream/pkg/relay"
	"github.com/mulberrystream/mulberrystream/pkg/sendonce"
)

// maxErrorBodyBytes limits the body of an error answer from an engine.
const maxErrorBodyBytes = 64 << 10

// framingBytes allows for the chunk headers of an error answer.
const framingBytes = 4 << 10

// decode sends the request to a decode engine and relays its events to the caller.
func (x *exchange) decode(e relay.Decode) relay.CallEnded {
	ended := relay.CallEnded{ID: e.ID, Attempt: e.Attempt.Attempt}
	begin, before := boottime.Now(), x.eventsRelayed
	f := Forward{To: e.To.ID, TimeLeft: timeLeft(e.Deadline), Organisation: e.Organisation, Hold: e.Hold}
	if e.Source != nil {
		f.Source, f.Handle = e.Source.Addr, e.Handle
	}
	if e.Resume {
		f.LastEvent = x.lastEventID
	}
	ctx, cancel := x.withDeadline(e.Deadline.Add(answerGrace))
	defer cancel()
	if e.Source != nil {
		ctx = x.host.withHandleCheck(ctx, *e.Source, e.HandleExpiry, x.prefillLink)
	}
	s, err := x.host.clients.forAddr(e.To.Addr).Stream(x.host.withTargetCheck(ctx, e.To), x.newRequest(f), e.FirstEvent)
	if err == nil {
		defer s.Close()
		x.host.recordNotice(answerOfStream(s), begin, x.spec.RequestID, x.spec.RequestID, e.To)
		ended.Status, ended.Framing = s.Status, s.Framing()
		ended.Outcome, err = x.relayStream(e, s)
	}
	if err != nil {
		ended.Outcome = x.errorOutcome(err, e.To)
		ended.HandleInvalid = errors.Is(err, errHandleInvalid)
	}
	ended.Started = x.headerSent
	ended.Events = x.eventsRelayed - before
	ended.Crashed = err != nil && ended.Events <= eventsAtCrash && x.hasCrashed(e.To, e.Organisation, err)
	ended.Took = boottime.Now().Sub(begin)
	return ended
}

func answerOfStream(s *sendonce.Stream) Answer {
	return Answer{Status: s.Status, Header: s.Header, Values: s.HeaderValues}
}

// relayStream relays a stream whose header has been received. It returns an error only
// if reading from the engine fails.
func (x *exchange) relayStream(e relay.Decode, s *sendonce.Stream) (relay.Outcome, error) {
	o := x.host.dialect.Classify(answerOfStream(s))
	if o != relay.Succeeded {
		return o, x.bufferStream(s)
	}
	events, before := eventstream.NewReader(s), x.eventsRelayed
	recorded := x.spec.Resumes || before > 0
	for {
		block, err := events.Next()
		if errors.Is(err, io.EOF) && (len(block) > 0 || s.EndsWithConnection() && x.eventsRelayed == before) {
			// A complete stream ends with an event, whatever delimits its body.
			return relay.Lost, io.ErrUnexpectedEOF
		}
		if len(block) > 0 && !recorded {
			s.Progress(e.NextEvent, maxBytesPerEvent)
			if !x.recordOrigin(e) {
				return relay.Aborted, nil
			}
			recorded = true
		}
		if len(block) > 0 {
			if !x.headerSent {
				x.sendHeader(e, s)
			}
			if werr := x.writeEvents(block); werr != nil {
				return relay.Aborted, nil
			}
			x.lastEventID = events.LastID()
			first := x.eventsRelayed == 0
			x.eventsRelayed += events.Count()
			if first {
				x.host.core.step(relay.StreamStarted{ID: e.ID, Attempt: e.Attempt.Attempt})
			}
			s.Progress(e.NextEvent, maxBytesPerEvent)
		}
		if errors.Is(err, io.EOF) {
			if !x.headerSent {
				x.sendHeader(e, s)
			}
			return relay.Succeeded, nil
		}
		if err != nil {
			return relay.Lost, err
		}
	}
}

// recordOrigin tells the relay that the first event of a stream has arrived, and waits until
// it may be relayed. It returns false if the caller leaves or the deadline passes before.
func (x *exchange) recordOrigin(e relay.Decode) bool {
	x.host.core.step(relay.FirstEvent{ID: e.ID, Attempt: e.Attempt.Attempt})
	ctx, cancel := x.withDeadline(e.Deadline)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return false
		case effect := <-x.job.effects:
			if r, ok := effect.(relay.RelayStream); ok && r.Attempt == e.Attempt.Attempt {
				return true
			}
		}
	}
}

// maxBytesPerEvent limits the bytes between two events with their framing.
const maxBytesPerEvent = 2 * eventstream.MaxEvent

// bufferStream buffers an error answer for delivery.
func (x *exchange) bufferStream(s *sendonce.Stream) error {
	s.Progress(0, framingBytes+maxErrorBodyBytes)
	body, err := io.ReadAll(s)
	if err != nil {
		return err
	}
	x.buffered = &bufferedAnswer{status: s.Status, header: endToEnd(s.Headers()), body: body}
	return nil
}

// sendHeader sends the header of the answer. It is the header of the first engine, even if
// another engine resumes the stream.
func (x *exchange) sendHeader(e relay.Decode, s *sendonce.Stream) {
	x.headerSent = true
	copyHeaders(x.w.Header(), endToEnd(s.Headers()))
	// Keeps a caller that does not read from occupying the engine beyond the deadline.
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(time.Now().Add(timeLeft(e.Deadline) + answerGrace)); err != nil {
		x.host.log.Warn("relayhost: setting write deadline failed")
	}
	x.w.WriteHeader(s.Status)
	x.host.metrics.countAnswer(s.Status)
}

func (x *exchange) writeEvents(block []byte) error {
	if _, err := x.w.Write(block); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

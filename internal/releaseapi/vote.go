package releaseapi

import (
	"context"
	"encoding/json"

	"silvercove/internal/dispatch"
	"silvercove/internal/http1"
	"silvercove/internal/transport"
)

// votesPath is the platform's resource for votes.
const votesPath = "/judgements"

// statusOK is the HTTP status of the stream of changes and of an accepted vote. The response to an accepted vote holds
// the stage after the vote.
const statusOK = 200

// wireVote is the JSON form of a vote.
type wireVote struct {
	Version uint16 `json:"Revision"`
	Stage   int    `json:"Wave"`
	Verdict string `json:"Decision"`
}

// voteResult holds the response to a vote, or the reason why there was none.
type voteResult struct {
	httpStatus int                   // HTTP status of the response; 0 if there was no complete response
	stage      dispatch.RolloutStage // stage after the vote; set if httpStatus is statusOK
	status     transport.CloseStatus // how the connection ended; ClosedLocally if there was a complete response
}

// castVotes casts the queued votes one after the other until the context ends, and passes each result to the dispatcher.
func (c *Client) castVotes(ctx context.Context) {
	for {
		select {
		case vote := <-c.votes:
			result := c.castVote(ctx, vote)
			c.dispatcher.VoteAnswered(result.httpStatus, result.stage, result.status)
		case <-ctx.Done():
			return
		}
	}
}

// castVote casts a vote on a connection of its own, so that no idle connection stays open between votes.
func (c *Client) castVote(ctx context.Context, vote dispatch.Vote) voteResult {
	limited, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	address, _, release := c.address.Current(ctx) // the returned context is not used: a change of the address must not cancel a vote in flight
	defer release()
	conn, status := transport.Dial(limited, address, c.timeout, c.buffers)
	if status.Closed() {
		return voteResult{status: status}
	}
	defer conn.Close()
	conn.BindContext(limited)
	body, _ := json.Marshal(wireVote{Version: vote.Version, Stage: vote.Stage, Verdict: vote.Verdict})
	conn.Append(http1.FormatRequest("POST", votesPath, address, string(body)))
	if status := conn.Flush(); status.Closed() {
		return voteResult{status: status}
	}
	return readVoteResult(conn)
}

// readVoteResult reads the response to a vote.
func readVoteResult(conn *transport.Conn) voteResult {
	var response http1.Response
	var body []byte
	for {
		used, read, err := response.Read(conn.Buffered(), body)
		conn.Discard(used)
		body = read
		if err != nil {
			return voteResult{status: closedAfterSend(transport.Malformed)}
		}
		if response.Done {
			break
		}
		if status := conn.Fill(0); status.Closed() {
			return voteResult{status: status}
		}
	}
	result := voteResult{httpStatus: response.Status, status: closedAfterSend(transport.ClosedLocally)}
	if response.Status == statusOK {
		stage, err := ParseStage(body)
		if err != nil {
			return voteResult{status: closedAfterSend(transport.Malformed)}
		}
		result.stage = stage
	}
	return result
}

package edgenode

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"silvercove/internal/controllerclient"
	"silvercove/internal/replica"
)

// maxMessageBytes limits the size of a message between nodes.
const maxMessageBytes = 4 << 20

// sendMessages sends the messages of a queue to one other node, one at a time, until the context ends. It does not retry a
// message that gets no answer, because the replica.Manager sends the message again.
func (n *Node) sendMessages(ctx context.Context, client *http.Client, to string, queue <-chan replica.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			answer, err := n.sendMessage(ctx, client, to, m)
			if err != nil {
				continue
			}
			n.mu.Lock()
			n.replicas.OnMessage(controllerclient.Now(), to, answer)
			n.mu.Unlock()
			n.signalChange()
		}
	}
}

// sendMessage sends a message and returns the answer, regardless of the status code.
func (n *Node) sendMessage(ctx context.Context, client *http.Client, to string, m replica.Message) (answer replica.Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.leaseDuration.Duration())
	defer cancel()
	text, err := json.Marshal(m)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/v1/"+m.Kind, bytes.NewReader(text))
	if err != nil {
		return answer, err
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }() // the error does not matter: the needed part of the body has been read
	text, err = io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return answer, err
	}
	err = json.Unmarshal(text, &answer)
	return answer, err
}

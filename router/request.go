package router

import (
	"time"

	"github.com/google/uuid"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
)

// request is a caller's request as routers process and forward it.
type request struct {
	service record.Service
	page    string
	hash    uint64
	meta    caller.Metadata
	method  string
	path    string
	headers []dispatch.Header
	body    []byte
	hops    uint32
}

// maxHops is the maximum number of forwards: from the router that received the
// request to a router of the page's failure domain, and from there to the dispatch
// router.
const maxHops = 2

func (r *request) toLink(budget time.Duration) *linkpb.ForwardRequest {
	return &linkpb.ForwardRequest{
		Service:     r.service.Name,
		Page:        r.page,
		Hash:        r.hash,
		Key:         r.meta.Key,
		RequestId:   r.meta.ID[:],
		Attempt:     uint32(r.meta.Attempt),
		Idempotent:  r.meta.Idempotent,
		BudgetNanos: int64(budget),
		Caller:      r.meta.Caller,
		Method:      r.method,
		Path:        r.path,
		Headers:     headersToLink(r.headers),
		Body:        r.body,
		Hops:        r.hops + 1,
		Minted:      r.meta.IDGenerated,
	}
}

func requestFromLink(service record.Service, in *linkpb.ForwardRequest) (*request, error) {
	id, err := uuid.FromBytes(in.GetRequestId())
	if err != nil {
		return nil, err
	}
	return &request{
		service: service,
		page:    in.GetPage(),
		hash:    in.GetHash(),
		meta: caller.Metadata{
			Key:         in.GetKey(),
			ID:          id,
			Attempt:     int(in.GetAttempt()),
			Idempotent:  in.GetIdempotent(),
			Caller:      in.GetCaller(),
			IDGenerated: in.GetMinted(),
		},
		method:  in.GetMethod(),
		path:    in.GetPath(),
		headers: headersFromLink(in.GetHeaders()),
		body:    in.GetBody(),
		hops:    in.GetHops(),
	}, nil
}

func replyToLink(reply dispatch.Reply, dispatcher string) *linkpb.ForwardReply {
	return &linkpb.ForwardReply{
		Outcome:         string(reply.Outcome),
		Reason:          string(reply.Reason),
		Status:          int32(reply.Status),
		Headers:         headersToLink(reply.Headers),
		Body:            reply.Body,
		Server:          reply.Server,
		RetryAfterNanos: int64(reply.RetryAfter),
		Dispatcher:      dispatcher,
	}
}

func replyFromLink(in *linkpb.ForwardReply) dispatch.Reply {
	return dispatch.Reply{
		Outcome:    caller.Outcome(in.GetOutcome()),
		Reason:     caller.Reason(in.GetReason()),
		Status:     int(in.GetStatus()),
		Headers:    headersFromLink(in.GetHeaders()),
		Body:       in.GetBody(),
		Server:     in.GetServer(),
		RetryAfter: time.Duration(in.GetRetryAfterNanos()),
	}
}

func headersToLink(headers []dispatch.Header) []*linkpb.Header {
	out := make([]*linkpb.Header, len(headers))
	for i, header := range headers {
		out[i] = &linkpb.Header{Name: header.Name, Value: header.Value}
	}
	return out
}

func headersFromLink(headers []*linkpb.Header) []dispatch.Header {
	out := make([]dispatch.Header, len(headers))
	for i, header := range headers {
		out[i] = dispatch.Header{Name: header.GetName(), Value: header.GetValue()}
	}
	return out
}

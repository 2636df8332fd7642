package linker

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"apricotrudder.dev/wire/linkwire"
)

// longBodyBytes is the size from which a body is written to the link from where it is,
// instead of being copied into an encoded frame.
const longBodyBytes = 16 << 10

// Numbers of the fields that contain a body.
const (
	runBodyNumber      protowire.Number = 7
	resultAnswerNumber protowire.Number = 1
	answerBodyNumber   protowire.Number = 3
)

// encode appends a frame to buffer. If the frame has a long body, encode returns it apart,
// as the end of the frame.
func encode(buffer []byte, frame *linkwire.Frame) (encoded, body []byte, err error) {
	switch kind := frame.Kind.(type) {
	case *linkwire.Frame_Run:
		if len(kind.Run.GetBody()) >= longBodyBytes {
			return encodeRun(buffer, frame.Exchange, kind.Run)
		}
	case *linkwire.Frame_Result:
		if answer := kind.Result.GetAnswer(); len(answer.GetBody()) >= longBodyBytes {
			return encodeResult(buffer, frame.Exchange, kind.Result, answer)
		}
	}
	encoded, err = proto.MarshalOptions{}.MarshalAppend(buffer, frame)
	return encoded, nil, err
}

func encodeRun(buffer []byte, exchange uint64, run *linkwire.Run) (encoded, body []byte, err error) {
	body = run.Body
	run.Body = nil
	rest, err := proto.Marshal(run)
	run.Body = body
	if err != nil {
		return nil, nil, err
	}
	buffer = appendExchange(buffer, exchange)
	buffer = appendLength(buffer, runNumber, len(rest)+fieldSize(runBodyNumber, len(body)))
	buffer = append(buffer, rest...)
	return appendLength(buffer, runBodyNumber, len(body)), body, nil
}

func encodeResult(buffer []byte, exchange uint64, result *linkwire.Result, answer *linkwire.Answer) (encoded, body []byte, err error) {
	body = answer.Body
	answer.Body = nil
	answerRest, err := proto.Marshal(answer)
	answer.Body = body
	if err != nil {
		return nil, nil, err
	}
	resultRest, err := proto.Marshal(&linkwire.Result{Load: result.Load, ServiceMs: result.ServiceMs})
	if err != nil {
		return nil, nil, err
	}
	answerSize := len(answerRest) + fieldSize(answerBodyNumber, len(body))
	buffer = appendExchange(buffer, exchange)
	buffer = appendLength(buffer, resultNumber, len(resultRest)+fieldSize(resultAnswerNumber, answerSize))
	buffer = append(buffer, resultRest...)
	buffer = appendLength(buffer, resultAnswerNumber, answerSize)
	buffer = append(buffer, answerRest...)
	return appendLength(buffer, answerBodyNumber, len(body)), body, nil
}

func appendExchange(buffer []byte, exchange uint64) []byte {
	if exchange == 0 {
		return buffer
	}
	return protowire.AppendVarint(protowire.AppendTag(buffer, exchangeNumber, protowire.VarintType), exchange)
}

// appendLength appends the start of a field of n bytes.
func appendLength(buffer []byte, number protowire.Number, n int) []byte {
	return protowire.AppendVarint(protowire.AppendTag(buffer, number, protowire.BytesType), uint64(n))
}

// fieldSize returns the size of a field whose content has n bytes.
func fieldSize(number protowire.Number, n int) int {
	return protowire.SizeTag(number) + protowire.SizeBytes(n)
}

package messenger

import (
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

func encodeBorrowRequest(r *medlargw.BorrowRequest) *wire.BorrowRequest {
	return &wire.BorrowRequest{
		Host:        string(r.Host),
		Incarnation: uint64(r.Incarnation),
		Number:      r.Sequence,
		View:        r.ViewHash,
		Waiting:     encodeDemand(r.Waiting),
		Any:         int32(r.AnySlots),
		Slots:       encodeClaims(r.Slots),
		Units:       encodeClaims(r.Units),
	}
}

func decodeBorrowRequest(r *wire.BorrowRequest) medlargw.BorrowRequest {
	return medlargw.BorrowRequest{
		Host:        medlargw.HostName(r.GetHost()),
		Incarnation: medlargw.Incarnation(r.GetIncarnation()),
		Sequence:    r.GetNumber(),
		ViewHash:    r.GetView(),
		Waiting:     decodeDemand(r.GetWaiting()),
		AnySlots:    int(r.GetAny()),
		Slots:       decodeClaims(r.GetSlots()),
		Units:       decodeClaims(r.GetUnits()),
	}
}

func encodeClaims(all []medlargw.Claim) []*wire.Claim {
	var claims []*wire.Claim
	for _, c := range all {
		claims = append(claims, &wire.Claim{
			Name:     c.Name,
			Held:     int32(c.Held),
			Want:     int32(c.Want),
			Returned: int32(c.Returned),
		})
	}
	return claims
}

func decodeClaims(all []*wire.Claim) []medlargw.Claim {
	var claims []medlargw.Claim
	for _, c := range all {
		claims = append(claims, medlargw.Claim{
			Name:     c.GetName(),
			Held:     int(c.GetHeld()),
			Want:     int(c.GetWant()),
			Returned: int(c.GetReturned()),
		})
	}
	return claims
}

func encodeBorrowReply(r *medlargw.BorrowReply) *wire.BorrowReply {
	return &wire.BorrowReply{
		Incarnation: uint64(r.Incarnation),
		Number:      r.Sequence,
		Owner:       r.IsOwner,
		Slots:       encodeLoans(r.Slots),
		Units:       encodeLoans(r.Units),
	}
}

func decodeBorrowReply(r *wire.BorrowReply) medlargw.BorrowReply {
	return medlargw.BorrowReply{
		Incarnation: medlargw.Incarnation(r.GetIncarnation()),
		Sequence:    r.GetNumber(),
		IsOwner:     r.GetOwner(),
		Slots:       decodeLoans(r.GetSlots()),
		Units:       decodeLoans(r.GetUnits()),
	}
}

func encodeLoans(all []medlargw.Loan) []*wire.Loan {
	var loans []*wire.Loan
	for i := range all {
		l := &all[i]
		loans = append(loans, &wire.Loan{
			Name:   l.Name,
			Amount: int32(l.Amount),
			Starts: l.Starts,
			TermMs: l.Term.Milliseconds(),
		})
	}
	return loans
}

func decodeLoans(all []*wire.Loan) []medlargw.Loan {
	var loans []medlargw.Loan
	for _, l := range all {
		loans = append(loans, medlargw.Loan{
			Name:   l.GetName(),
			Amount: int(l.GetAmount()),
			Starts: l.GetStarts(),
			Term:   time.Duration(l.GetTermMs()) * time.Millisecond,
		})
	}
	return loans
}

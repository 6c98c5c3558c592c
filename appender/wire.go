package appender

import "time"

type wireAppended struct {
	Offset int64 `json:"offset"`
}

type wireBatch struct {
	Records [][]byte `json:"records"`
}

type wireRecord struct {
	Offset   int64     `json:"offset"`
	Appended time.Time `json:"appended-at"`
	Data     []byte    `json:"data"`
}

type wirePage struct {
	Records []wireRecord `json:"records"`
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
}

func (w wirePage) fromWire() Page {
	page := Page{First: Offset(w.First), Next: Offset(w.Next)}
	for _, r := range w.Records {
		page.Records = append(page.Records, Record{
			Offset:   Offset(r.Offset),
			Appended: r.Appended,
			Data:     r.Data,
		})
	}
	return page
}

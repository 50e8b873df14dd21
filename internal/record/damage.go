package record

// A Damage describes a place in a store where records are lost or where bytes are not a valid record.
type Damage struct {
	File   string   `json:"file"`
	Offset int64    `json:"offset"`         // in bytes; -1: the whole file
	Bytes  int64    `json:"bytes"`          // number of bytes that are not a valid record
	From   uint64   `json:"from,omitempty"` // first lost sequence number; 0: none, or unknown
	To     uint64   `json:"to,omitempty"`   // last lost sequence number
	Cause  GapCause `json:"cause"`
	Text   string   `json:"text"`
}

// wholeFile is the Offset of a Damage that affects a whole file.
const wholeFile = -1

// maxDamages limits the length of a damageList. Further damage is only counted.
const maxDamages = 1000

// A damageList collects the damage that a Reader detects.
type damageList struct {
	list    []Damage
	omitted int // number of entries omitted because the list was full
	// The last damage since the last record was returned. It is the cause of a gap before the next record.
	cause GapCause // NoGap: none
	file  string
}

// add appends a damage and makes it the cause of the next gap.
func (d *damageList) add(damage Damage) {
	d.cause = damage.Cause
	d.file = damage.File
	if len(d.list) >= maxDamages {
		d.omitted++
		return
	}
	d.list = append(d.list, damage)
}

// explainGap sets the cause of a gap before a record of the given file. It sets the lost range of the damage that
// caused the gap, or adds a damage for the missing records if there is none.
func (d *damageList) explainGap(gap *Record, file string) {
	if d.cause == NoGap {
		gap.Code = uint8(Missing)
		d.add(Damage{
			File:   file,
			Offset: wholeFile,
			From:   gap.From,
			To:     gap.Seq,
			Cause:  Missing,
			Text:   "the records before this file are missing",
		})
		return
	}
	gap.Code = uint8(d.cause)
	gap.Text = d.file
	if len(d.list) == 0 || d.omitted > 0 {
		return
	}
	last := &d.list[len(d.list)-1]
	if last.From == 0 {
		last.From = gap.From
		last.To = gap.Seq
	}
}

// clearCause is called when a record is returned: earlier damage does not cause a gap after it.
func (d *damageList) clearCause() {
	d.cause = NoGap
	d.file = ""
}

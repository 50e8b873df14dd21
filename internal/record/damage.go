package record

// A Damage is a place in a store where records are lost or where bytes are not a record.
type Damage struct {
	File   string   `json:"file"`
	Offset int64    `json:"offset"`         // in bytes; -1: the whole file
	Bytes  int64    `json:"bytes"`          // that are not a record
	From   uint64   `json:"from,omitempty"` // first lost sequence number; 0: none is lost, or it is not known which
	To     uint64   `json:"to,omitempty"`   // last lost sequence number
	Cause  GapCause `json:"cause"`
	Text   string   `json:"text"`
}

// wholeFile is the Offset of a Damage that concerns a whole file.
const wholeFile = -1

// maxDamages bounds a damageList. Further damages are only counted.
const maxDamages = 1000

// A damageList collects the damages that a Reader detects.
type damageList struct {
	list    []Damage
	omitted int // damages that the list had no room for
	// The last damage since the last record, which explains a gap before the next record.
	cause GapCause // NoGap: none
	file  string
}

// add appends a damage, which explains the next gap.
func (d *damageList) add(damage Damage) {
	d.cause = damage.Cause
	d.file = damage.File
	if len(d.list) >= maxDamages {
		d.omitted++
		return
	}
	d.list = append(d.list, damage)
}

// explainGap sets the cause of a gap before a record of the named file. It notes the lost range at the damage that
// explains it, or adds a damage if there is none.
func (d *damageList) explainGap(gap *Record, file string) {
	if d.cause == NoGap {
		gap.Code = uint8(Missing)
		d.add(Damage{
			File:   file,
			Offset: wholeFile,
			From:   gap.From,
			To:     gap.Seq,
			Cause:  Missing,
			Text:   "the records before it are not there",
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

// clearCause ends the time in which a damage explains a gap.
func (d *damageList) clearCause() {
	d.cause = NoGap
	d.file = ""
}

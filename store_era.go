package dotterelpulley

// StoreEra numbers the histories of the platform's store: it rises each time the store returns from a copy, which lacks what
// was written last. Offsets are valid within one era only; zero stands for a store that names none.
type StoreEra uint64

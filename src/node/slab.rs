//! Tables of numbered slots. A slot that is used again has a new generation, so an old number finds nothing.

/// Names a slot and its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    /// The slot's number.
    pub slot: u32,
    /// How often it was used before.
    pub generation: u32,
}

/// A table of numbered slots.
#[derive(Debug)]
pub struct Slab<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Puts an item into a free slot.
    pub fn insert(&mut self, item: T) -> SlotKey {
        self.insert_with(|_| item)
    }
    /// Puts an item into a free slot that has to know its own key.
    pub fn insert_with(&mut self, item: impl FnOnce(SlotKey) -> T) -> SlotKey {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() as u32 - 1
        });
        let place = &mut self.slots[slot as usize];
        let key = SlotKey { slot, generation: place.0 };
        place.1 = Some(item(key));
        key
    }
    /// The item under a key, while it is there.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        let place = self.slots.get(key.slot as usize)?;
        place.1.as_ref().filter(|_| place.0 == key.generation)
    }
    /// The same, to change it.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        let place = self.slots.get_mut(key.slot as usize)?;
        place.1.as_mut().filter(|_| place.0 == key.generation)
    }
    /// Takes an item out; its key never finds anything again.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let place = self.slots.get_mut(key.slot as usize).filter(|place| place.0 == key.generation)?;
        let item = place.1.take()?;
        place.0 = place.0.wrapping_add(1) & 0x00ff_ffff; // Tokens carry 24 bits of it.
        self.free.push(key.slot);
        Some(item)
    }
    /// How many slots are in use.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// All items, by slot.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &T)> {
        self.slots.iter().enumerate().filter_map(|(slot, (generation, item))| {
            Some((SlotKey { slot: slot as u32, generation: *generation }, item.as_ref()?))
        })
    }
    /// The keys in use, by slot.
    pub fn keys(&self) -> Vec<SlotKey> {
        self.iter().map(|(key, _)| key).collect()
    }
}

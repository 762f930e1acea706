//! Slab allocator whose keys include a generation. Reusing a slot increments its generation, so a key of a removed item
//! never refers to the item that replaced it.

/// Key of an item: a slot number and the slot's generation when the item was inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    /// Index of the slot.
    pub slot: u32,
    /// Number of items that were removed from the slot before, modulo 2^24.
    pub generation: u32,
}

/// A collection that stores items in reusable slots and identifies them by [`SlotKey`].
#[derive(Debug)]
pub struct Slab<T> {
    /// Generation and item of each slot.
    slots: Vec<(u32, Option<T>)>,
    /// Slots without an item.
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Inserts an item and returns its key.
    pub fn insert(&mut self, item: T) -> SlotKey {
        self.insert_with(|_| item)
    }
    /// Inserts an item that is built from its own key, and returns the key.
    pub fn insert_with(&mut self, item: impl FnOnce(SlotKey) -> T) -> SlotKey {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() as u32 - 1
        });
        let entry = &mut self.slots[slot as usize];
        let key = SlotKey { slot, generation: entry.0 };
        entry.1 = Some(item(key));
        key
    }
    /// Returns the item with this key, or `None` if it was removed.
    pub fn get(&self, key: SlotKey) -> Option<&T> {
        let entry = self.slots.get(key.slot as usize)?;
        entry.1.as_ref().filter(|_| entry.0 == key.generation)
    }
    /// Returns a mutable reference to the item with this key, or `None` if it was removed.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut T> {
        let entry = self.slots.get_mut(key.slot as usize)?;
        entry.1.as_mut().filter(|_| entry.0 == key.generation)
    }
    /// Removes and returns the item with this key. The key is invalid afterwards.
    pub fn remove(&mut self, key: SlotKey) -> Option<T> {
        let entry = self.slots.get_mut(key.slot as usize).filter(|entry| entry.0 == key.generation)?;
        let item = entry.1.take()?;
        // Socket tokens have room for 24 bits of the generation.
        entry.0 = entry.0.wrapping_add(1) & 0x00ff_ffff;
        self.free.push(key.slot);
        Some(item)
    }
    /// Number of items.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
    /// Whether the slab contains no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Iterates over all keys and items in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &T)> {
        self.slots.iter().enumerate().filter_map(|(slot, (generation, item))| {
            Some((SlotKey { slot: slot as u32, generation: *generation }, item.as_ref()?))
        })
    }
    /// Returns the keys of all items in slot order.
    pub fn keys(&self) -> Vec<SlotKey> {
        self.iter().map(|(key, _)| key).collect()
    }
}

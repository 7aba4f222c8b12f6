//! The execution slots of a leaf and their wait queue.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::oneshot;

/// The result of a request for a slot.
#[derive(Debug)]
pub enum Acquisition {
    /// A slot was free and is now in use.
    Acquired(Slot),
    /// The request is queued; the receiver fails if the leaf stops.
    Queued(oneshot::Receiver<Slot>),
    /// The queue is full.
    Full,
}

/// A slot in use; on drop, the slot goes to the next queued request or becomes free.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
    /// Whether dropping this value must pass on or free the slot.
    is_held: bool,
}

/// A fixed number of slots with a bounded FIFO queue.
#[derive(Clone, Debug)]
pub struct Slots(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    capacity: u32,
    queue_capacity: usize,
    in_use: u32,
    queue: VecDeque<oneshot::Sender<Slot>>,
}

impl Slots {
    /// Returns `capacity` free slots with a queue of up to `queue_capacity` requests.
    pub fn new(capacity: u32, queue_capacity: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            capacity,
            queue_capacity,
            in_use: 0,
            queue: VecDeque::new(),
        })))
    }

    /// Acquires a free slot, or queues the request if there is none.
    pub fn acquire(&self) -> Acquisition {
        let mut state = self.lock();
        if state.in_use < state.capacity {
            state.in_use += 1;
            return Acquisition::Acquired(self.slot());
        }
        state.queue.retain(|waiter| !waiter.is_closed());
        if state.queue.len() >= state.queue_capacity {
            return Acquisition::Full;
        }
        let (sender, receiver) = oneshot::channel();
        state.queue.push_back(sender);
        Acquisition::Queued(receiver)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> u32 {
        let mut state = self.lock();
        state.queue.retain(|waiter| !waiter.is_closed());
        u32::try_from(state.queue.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.lock().in_use
    }

    /// Rejects all queued requests.
    pub fn clear_queue(&self) {
        self.lock().queue.clear();
    }

    fn slot(&self) -> Slot {
        Slot {
            slots: self.clone(),
            is_held: true,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no code panics while it holds the lock")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        while self.is_held {
            let next = {
                let mut state = self.slots.lock();
                let next = state.queue.pop_front();
                if next.is_none() {
                    state.in_use -= 1;
                    self.is_held = false;
                }
                next
            };
            // A slot that could not be sent, because its waiter gave up, must not be freed twice.
            match next.map(|waiter| waiter.send(self.slots.slot())) {
                Some(Err(mut slot)) => slot.is_held = false,
                Some(Ok(())) => self.is_held = false,
                None => {}
            }
        }
    }
}

//! The slots of a leaf and the queue in front of them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::oneshot;

/// What became of a request for a slot.
#[derive(Debug)]
pub enum Turn {
    /// A slot was free.
    Now(Slot),
    /// The request waits; the receiver fails if the leaf stops.
    Later(oneshot::Receiver<Slot>),
    /// The queue is full.
    Full,
}

/// A slot in use; dropping it frees it for the next in the queue.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
    armed: bool,
}

/// A number of slots with a bounded first-in, first-out queue.
#[derive(Clone, Debug)]
pub struct Slots(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    slots: u32,
    bound: usize,
    busy: u32,
    queue: VecDeque<oneshot::Sender<Slot>>,
}

impl Slots {
    /// Returns `slots` free slots whose queue holds up to `bound` requests.
    pub fn new(slots: u32, bound: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            slots,
            bound,
            busy: 0,
            queue: VecDeque::new(),
        })))
    }

    /// Asks for a slot.
    pub fn take(&self) -> Turn {
        let mut state = self.lock();
        if state.busy < state.slots {
            state.busy += 1;
            return Turn::Now(self.slot());
        }
        state.queue.retain(|waiter| !waiter.is_closed());
        if state.queue.len() >= state.bound {
            return Turn::Full;
        }
        let (sender, receiver) = oneshot::channel();
        state.queue.push_back(sender);
        Turn::Later(receiver)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> u32 {
        let mut state = self.lock();
        state.queue.retain(|waiter| !waiter.is_closed());
        u32::try_from(state.queue.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots in use.
    pub fn busy(&self) -> u32 {
        self.lock().busy
    }

    /// Turns away all requests that wait.
    pub fn clear(&self) {
        self.lock().queue.clear();
    }

    fn slot(&self) -> Slot {
        Slot {
            slots: self.clone(),
            armed: true,
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
        while self.armed {
            let next = {
                let mut state = self.slots.lock();
                let next = state.queue.pop_front();
                if next.is_none() {
                    state.busy -= 1;
                    self.armed = false;
                }
                next
            };
            // A waiter that gave up hands the slot back; it must not free it a second time.
            match next.map(|waiter| waiter.send(self.slots.slot())) {
                Some(Err(mut slot)) => slot.armed = false,
                Some(Ok(())) => self.armed = false,
                None => {}
            }
        }
    }
}

/** Holds a request at one point until its resend was sent. */
export interface ResendGate {
  /** Holds the next request; `breakCaller` is called when it arrives. */
  hold(breakCaller: () => void): void;
  open(): void;
  /** Waits at the gate; without a hold it does not wait. */
  pass(): Promise<void>;
}

/** Creates a gate that holds nothing yet. */
export default function createResendGate(): ResendGate {
  let held: (() => void) | undefined;
  let release: () => void = () => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  return {
    hold: (breakCaller) => {
      held = breakCaller;
    },
    open: () => {
      held = undefined;
      release();
    },
    pass: async () => {
      const breakCaller = held;
      held = undefined;
      if (breakCaller !== undefined) {
        breakCaller();
        await released;
      }
    },
  };
}

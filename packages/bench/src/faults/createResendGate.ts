/** Holds a request at one point until its resend has been sent. */
export interface ResendGate {
  /** Holds the next request; `breakCaller` is called when it arrives. */
  hold(breakCaller: () => void): void;
  open(): void;
  /** Waits until the gate opens, if a hold was set; returns at once otherwise. */
  pass(): Promise<void>;
}

/** Creates a gate without a hold. */
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

import type { IncomingMessage } from "node:http";

/**
 * Calls back if the end of its connection is what ends an answer, before the runtime
 * handles that end. The runtime takes such an answer for complete wherever its parser
 * found neither length nor chunks, whatever the head seems to say.
 */
export function watchConnectionEnd(
  answer: IncomingMessage,
  onEnd: () => void,
): void {
  const { socket } = answer;
  const handleEnd = (): void => {
    if (!answer.complete) {
      onEnd();
    }
  };
  socket.prependListener("end", handleEnd);
  // A connection that is kept may carry many answers.
  answer.once("close", () => socket.off("end", handleEnd));
}

package org.pollenrock.router.filter;

import io.netty.util.concurrent.FastThreadLocal;
import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.prefix.PrefixFingerprinter;
import org.pollenrock.core.prefix.PromptBlocks;
import org.pollenrock.core.settings.SettingKey;

/**
 * Digests the blocks of the prompt. The levels end where messages end: requests that share a
 * dossier share the messages before it.
 */
final class FingerprintFilter implements Filter {
  /** A fingerprinter holds a digest in progress, so each event loop has its own. */
  private final FastThreadLocal<PrefixFingerprinter> fingerprinters =
      new FastThreadLocal<>() {
        @Override
        protected PrefixFingerprinter initialValue() {
          return new PrefixFingerprinter();
        }
      };

  @Override
  public Step step() {
    return Step.FINGERPRINT;
  }

  @Override
  public void apply(Exchange exchange) {
    if (exchange.call() instanceof ParsedCall.Completion completion) {
      int blockSize = (int) exchange.values().effective().number(SettingKey.BLOCK_SIZE);
      exchange.prompt(shape(CompletionBody.canonicalPrompt(completion), blockSize));
    }
    exchange.proceed();
  }

  private PromptShape shape(CompletionBody.CanonicalPrompt prompt, int blockSize) {
    PromptBlocks blocks = fingerprinters.get().digestPrompt(prompt.bytes(), blockSize);
    List<Integer> levels = new ArrayList<>();
    int last = 0;
    for (int end : prompt.partEnds()) {
      int full = end / blockSize;
      if (full > last) {
        levels.add(full);
        last = full;
      }
    }
    return new PromptShape(blocks, levels);
  }
}

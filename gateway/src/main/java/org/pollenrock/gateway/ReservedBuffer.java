package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Buffer whose whole capacity is reserved in a {@link BodyMemory} until its last reference is
 * released. It grows by blocks, so that growth needs no copy of the bytes.
 */
final class ReservedBuffer extends CompositeByteBuf {
  private static final int MIN_BLOCK_BYTES = 256;
  private static final int MAX_BLOCK_BYTES = 1 << 20;

  /** More blocks than a body of the maximum size has, so that they are never merged. */
  private static final int MAX_BLOCKS = 256;

  private final BodyMemory memory;
  private long reservedBytes;

  ReservedBuffer(ByteBufAllocator allocator, BodyMemory memory) {
    super(allocator, true, MAX_BLOCKS);
    this.memory = memory;
  }

  /**
   * Appends bytes.
   *
   * @param bytes the bytes, which are read but not released
   * @return false, without appending any, if no memory is left for them
   */
  boolean append(ByteBuf bytes) {
    if (!tryGrow(bytes.readableBytes())) {
      return false;
    }
    writeBytes(bytes);
    return true;
  }

  /**
   * Makes room for further bytes.
   *
   * @param bytes number of bytes that can be written afterwards
   * @return false if no memory is left for them
   */
  boolean tryGrow(int bytes) {
    int missingBytes = bytes - writableBytes();
    if (missingBytes <= 0) {
      return true;
    }
    int blockBytes =
        Math.max(missingBytes, Math.clamp(capacity(), MIN_BLOCK_BYTES, MAX_BLOCK_BYTES));
    if (!memory.tryReserveMore(reservedBytes, blockBytes)) {
      return false;
    }
    reservedBytes += blockBytes;
    ByteBuf block = alloc().buffer(blockBytes, blockBytes);
    addComponent(block.writerIndex(blockBytes));
    return true;
  }

  @Override
  protected void deallocate() {
    super.deallocate();
    memory.free(reservedBytes);
    reservedBytes = 0;
  }
}
